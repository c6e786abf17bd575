"""A demonstration that runs a deployment as local processes."""
