"""State that limiters share in datagrams: health evidence on servers, spread as rumours, and units of hard ceilings."""
