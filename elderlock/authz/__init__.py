"""External authorisation over gRPC. The limiter decides these requests as it decides those over RESP2."""
