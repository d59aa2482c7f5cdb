package org.amaranthstream.logs;

import com.google.common.base.Ascii;
import com.google.common.base.Throwables;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * A log formatter that writes each event as one line of key=value pairs. Thread safe.
 *
 * <p>A line consists of the time, the level, the logger's simple name, the message of the event
 * (itself key=value pairs) and, if there is a cause, its stack trace as one quoted value.
 */
public final class KeyValueFormatter extends Formatter {
  /** Bounds the memory of queued lines, some of which quote what clients send. */
  private static final int MAX_TEXT_CHARS = 8_000;

  /** Creates a formatter. */
  public KeyValueFormatter() {}

  @Override
  public String format(LogRecord event) {
    StringBuilder line = new StringBuilder();
    line.append("time=").append(timeOf(event));
    line.append(" level=").append(levelOf(event.getLevel()));
    line.append(" logger=").append(simpleName(event.getLoggerName()));
    line.append(' ').append(oneLine(formatMessage(event)));
    if (event.getThrown() != null) {
      line.append(" cause=\"").append(causeOf(event.getThrown())).append('"');
    }
    return line.append('\n').toString();
  }

  private static String timeOf(LogRecord event) {
    return DateTimeFormatter.ISO_INSTANT.format(Instant.ofEpochMilli(event.getMillis()));
  }

  private static String levelOf(Level level) {
    if (level.intValue() >= Level.SEVERE.intValue()) {
      return "ERROR";
    }
    if (level.intValue() >= Level.WARNING.intValue()) {
      return "WARN";
    }
    return level.intValue() >= Level.INFO.intValue() ? "INFO" : "DEBUG";
  }

  private static String simpleName(String logger) {
    return logger == null ? "root" : logger.substring(logger.lastIndexOf('.') + 1);
  }

  private static String oneLine(String text) {
    String message = Ascii.truncate(text, MAX_TEXT_CHARS, "...");
    return message.replace("\r", "\\r").replace("\n", "\\n");
  }

  private static String causeOf(Throwable cause) {
    return oneLine(Throwables.getStackTraceAsString(cause)).replace("\"", "'").replace("\t", " ");
  }
}
