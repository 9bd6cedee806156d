"""What to do with each exchange; how it is carried out is the host's affair."""
