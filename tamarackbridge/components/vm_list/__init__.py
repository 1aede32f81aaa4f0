"""Access to the platform's list of VMs."""
