package org.amaranthstream.cli;

import org.amaranthstream.result.ResultCode;

/** Exit codes of the command line, which are documented in {@code docs/API.md}. */
public enum ExitCode {
  /** The command succeeded. */
  OK(0),
  /** The daemon rejected the request or failed. */
  FAILED(1),
  /** The command line is invalid. */
  USAGE(2),
  /** A settings or configuration file is invalid. */
  INVALID(3),
  /** The configuration is no longer at the generation that the change replaces. */
  CONFLICT(4),
  /** The daemon, a peer or the platform is unreachable; nothing was changed. */
  UNAVAILABLE(5),
  /** A change may or may not have taken effect. */
  OUTCOME_UNKNOWN(6);

  private final int status;

  ExitCode(int status) {
    this.status = status;
  }

  /** Returns the exit status of the process. */
  public int status() {
    return status;
  }

  /** Returns the exit code for a result code. */
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
