"""The request path of an entry; each module is one filter."""
