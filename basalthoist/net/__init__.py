"""The node on sockets, by the stages of an exchange. Nothing here decides where an exchange goes."""
