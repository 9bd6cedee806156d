"""Distribution of versioned configuration at full size, with real relay processes and hollow nodes."""
