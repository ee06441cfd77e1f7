"""Operations that change state."""
