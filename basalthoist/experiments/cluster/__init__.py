"""A rig: several processes of the program on loopback, with faults between and beneath them."""
