"""Requests on their way: client side, server side, the exchange between them, and the decisions' driver."""
