"""The event-loop server: request handling and state, independent of the platform."""
