"""Load-balancing decisions for each request, without I/O; the host carries them out."""
