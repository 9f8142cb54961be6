"""HTTP/1.1: server, client, streams of events, and bounds on what they hold."""
