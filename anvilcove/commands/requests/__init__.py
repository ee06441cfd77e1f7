"""Request handling: admission, endpoint queues, attempts and claims."""
