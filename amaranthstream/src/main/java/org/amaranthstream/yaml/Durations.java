package org.amaranthstream.yaml;

import com.google.common.collect.ImmutableMap;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Parser and formatter of durations with a unit, such as {@code 250ms}, {@code 2s}, {@code 7m} and
 * {@code 1h}.
 */
public final class Durations {
  private static final Pattern SYNTAX = Pattern.compile("([0-9]{1,9})(ms|s|m|h)");
  private static final ImmutableMap<String, ChronoUnit> UNITS =
      ImmutableMap.of(
          "h", ChronoUnit.HOURS,
          "m", ChronoUnit.MINUTES,
          "s", ChronoUnit.SECONDS,
          "ms", ChronoUnit.MILLIS);

  private Durations() {}

  /** Returns the duration that {@code text} denotes, or empty if it is not a valid duration. */
  public static Optional<Duration> parse(String text) {
    Matcher matcher = SYNTAX.matcher(text);
    if (!matcher.matches()) {
      return Optional.empty();
    }
    return Optional.of(Duration.of(Long.parseLong(matcher.group(1)), UNITS.get(matcher.group(2))));
  }

  /**
   * Returns {@code duration} in the largest unit that divides it without a remainder.
   *
   * <p>Truncates to whole milliseconds.
   */
  public static String format(Duration duration) {
    long millis = duration.toMillis();
    for (Map.Entry<String, ChronoUnit> unit : UNITS.entrySet()) {
      long unitMillis = unit.getValue().getDuration().toMillis();
      if (millis % unitMillis == 0 && millis >= unitMillis) {
        return millis / unitMillis + unit.getKey();
      }
    }
    return millis + "ms";
  }
}
