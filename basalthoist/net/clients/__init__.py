"""The HTTP front end, clients' connections, and the limits on them."""
