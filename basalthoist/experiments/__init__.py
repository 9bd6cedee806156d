"""Scenarios times policies times seeds, in parallel; raw results, then tables and charts from them."""
