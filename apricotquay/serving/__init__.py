"""The event-loop daemon: request handling and state, independent of the platform."""
