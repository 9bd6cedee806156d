"""A soak test: one node as a real process under seeded troubles up to SIGKILL, judged from outside."""
