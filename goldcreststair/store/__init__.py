"""The platform's services: table, object store, list of VMs, weight store."""
