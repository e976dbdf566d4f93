"""Which VMs are part of the fleet."""
