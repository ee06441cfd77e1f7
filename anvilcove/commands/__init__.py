"""Operations that change state: requests, rollouts and control."""
