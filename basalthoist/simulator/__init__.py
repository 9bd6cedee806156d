"""Adapter that runs the decision code in a simulator, with events as lines on standard input and output."""
