"""One folder a domain; each offers `async_setup(core)`."""
