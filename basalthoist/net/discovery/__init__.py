"""Service discovery: polls for the endpoint list and passes it to the decisions."""
