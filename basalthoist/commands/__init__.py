"""The command line for local installations and experiments. The platform starts its nodes without it."""
