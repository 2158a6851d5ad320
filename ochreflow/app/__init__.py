"""What puts the parts together for a process."""
