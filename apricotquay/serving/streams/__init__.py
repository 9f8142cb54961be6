"""Which software version began a stream, and who remembers it."""
