"""Runs scenarios with each policy and seed, stores raw results, and makes reports from them."""
