"""The command line for own installations and experiments; the platform's node starts without it."""
