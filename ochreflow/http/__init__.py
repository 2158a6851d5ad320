"""HTTP/1.1: clients' connections, connections to servers, and the operators' address."""
