"""The generated gRPC code of the service in `lookups.proto`."""
