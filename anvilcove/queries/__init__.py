"""Operations that only read state."""
