"""HTTP/1.1: client connections, connections to servers, and the management interface."""
