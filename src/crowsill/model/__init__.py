"""The domain's types: configuration, fleet and requests, without I/O."""
