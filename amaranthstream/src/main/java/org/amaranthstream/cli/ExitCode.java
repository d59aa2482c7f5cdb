package org.amaranthstream.cli;

import org.amaranthstream.result.ResultCode;

/** Exit codes of the command line; {@code docs/API.md} explains each of them. */
public enum ExitCode {
  /** The command did what was asked. */
  OK(0),
  /** The daemon refused or failed. */
  FAILED(1),
  /** The command line is wrong. */
  USAGE(2),
  /** A settings or configuration file is wrong. */
  INVALID(3),
  /** Another operator's change came first. */
  CONFLICT(4),
  /** The daemon, a peer or the platform cannot be reached; nothing was changed. */
  UNAVAILABLE(5),
  /** It is not known whether a change took effect. */
  OUTCOME_UNKNOWN(6);

  private final int status;

  ExitCode(int status) {
    this.status = status;
  }

  /** Returns the exit status of the process. */
  public int status() {
    return status;
  }

  static ExitCode of(ResultCode code) {
    return switch (code) {
      case OK, ACCEPTED -> OK;
      case INVALID_SETTINGS, CONFIG_INVALID -> INVALID;
      case CONFIG_CONFLICT -> CONFLICT;
      case PLATFORM_UNAVAILABLE, PEER_UNREACHABLE -> UNAVAILABLE;
      case CONFIG_OUTCOME_UNKNOWN -> OUTCOME_UNKNOWN;
      default -> FAILED;
    };
  }
}
