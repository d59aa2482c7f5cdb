package org.amaranthstream.standins.engine;

import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * Deterministic output of the stand-in engines. The text depends only on the prompt and the seed,
 * so a receiver can distinguish a complete output from one with a gap, a repeated part, or parts of
 * two outputs.
 *
 * <p>The first token is the key: 16 hexadecimal digits of a hash of the prompt and the seed. Each
 * further token is a word derived from the key and the token's position. The length is drawn from a
 * Pareto distribution that is truncated at the maximum.
 */
public final class GeneratedText {
  private static final int WORD_LETTERS = 4;
  private static final int LETTERS = 26;
  private static final double PARETO_SHAPE = 1.5;
  private static final double MIN_LENGTH_SHARE = 1 / 8.0;
  private static final long GOLDEN_GAMMA = 0x9E3779B97F4A7C15L;
  private static final Splitter WORDS = Splitter.on(' ').omitEmptyStrings();

  private GeneratedText() {}

  /** Returns the key of the output for a prompt and a seed. */
  public static String key(String prompt, long seed) {
    long hash =
        Hashing.murmur3_128()
            .newHasher()
            .putString(prompt, StandardCharsets.UTF_8)
            .putLong(seed)
            .hash()
            .asLong();
    return String.format(Locale.ROOT, "%016x", hash);
  }

  /** Returns the number of tokens of the complete output, from 1 to {@code maxTokens}. */
  public static int length(String key, int maxTokens) {
    double uniform = ((mix(key, -1) >>> 11) + 1) * 0x1.0p-53;
    double length = maxTokens * MIN_LENGTH_SHARE * Math.pow(uniform, -1 / PARETO_SHAPE);
    return (int) Math.max(1, Math.min(maxTokens, length));
  }

  /** Returns the token at a position, with a trailing space. */
  public static String token(String key, long position) {
    return position == 0 ? key + ' ' : word(mix(key, position));
  }

  /** Returns {@code count} tokens, starting at {@code position}. */
  public static String tokens(String key, long position, long count) {
    StringBuilder text = new StringBuilder();
    for (long i = 0; i < count; i++) {
      text.append(token(key, position + i));
    }
    return text.toString();
  }

  /** Returns the first word of a text, which is the key of an output; empty if there is none. */
  public static String keyOf(String text) {
    List<String> words = WORDS.limit(2).splitToList(text);
    return words.isEmpty() ? "" : words.get(0);
  }

  /** Returns true if {@code text} is the complete output of its key and has that many tokens. */
  public static boolean isComplete(String text, long tokens, int maxTokens) {
    String key = keyOf(text);
    return tokens == length(key, maxTokens) && text.equals(tokens(key, 0, tokens));
  }

  private static String word(long hash) {
    StringBuilder word = new StringBuilder();
    long remainder = hash >>> 1;
    for (int i = 0; i < WORD_LETTERS; i++) {
      word.append((char) ('a' + remainder % LETTERS));
      remainder /= LETTERS;
    }
    return word.append(' ').toString();
  }

  private static long mix(String key, long position) {
    long mixed = (key.hashCode() * GOLDEN_GAMMA) ^ (position * 0xBF58476D1CE4E5B9L);
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
