"""The decision module behind the bench's wire."""
