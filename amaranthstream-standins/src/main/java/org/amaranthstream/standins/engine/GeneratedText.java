package org.amaranthstream.standins.engine;

import com.google.common.base.Splitter;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;

/**
 * The text that the stand-in engines generate: a function of the prompt and the seed alone, so that
 * a receiver can tell a whole answer from one with a gap, a repeated part or parts of two answers.
 *
 * <p>The first token is the key, 16 hexadecimal digits that stand for the prompt and the seed; each
 * further token is a word made from the key and the token's position. The length has a long tail.
 */
public final class GeneratedText {
  private static final int WORD_LETTERS = 4;
  private static final int LETTERS = 26;
  private static final double TAIL_EXPONENT = 1.5;
  private static final double SHORTEST_SHARE = 1 / 8.0;
  private static final long MIX = 0x9E3779B97F4A7C15L;
  private static final Splitter WORDS = Splitter.on(' ').omitEmptyStrings();

  private GeneratedText() {}

  /** Returns the key of the answer to a prompt and a seed. */
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

  /** Returns the number of tokens of the whole answer. */
  public static int length(String key, int maxTokens) {
    double uniform = ((mix(key, -1) >>> 11) + 1) * 0x1.0p-53;
    double length = maxTokens * SHORTEST_SHARE * Math.pow(uniform, -1 / TAIL_EXPONENT);
    return (int) Math.max(1, Math.min(maxTokens, length));
  }

  /** Returns the token at a position, with the space that follows it. */
  public static String token(String key, long position) {
    return position == 0 ? key + ' ' : word(mix(key, position));
  }

  /** Returns {@code count} tokens from a position on. */
  public static String tokens(String key, long position, long count) {
    StringBuilder text = new StringBuilder();
    for (long i = 0; i < count; i++) {
      text.append(token(key, position + i));
    }
    return text.toString();
  }

  /** Returns the key that a text begins with, or the empty string. */
  public static String keyOf(String text) {
    List<String> words = WORDS.limit(2).splitToList(text);
    return words.isEmpty() ? "" : words.get(0);
  }

  /** Returns true if {@code text} is the whole answer of its key. */
  public static boolean isComplete(String text, long tokens, int maxTokens) {
    String key = keyOf(text);
    return tokens == length(key, maxTokens) && text.equals(tokens(key, 0, tokens));
  }

  private static String word(long hash) {
    StringBuilder word = new StringBuilder();
    long rest = hash >>> 1;
    for (int i = 0; i < WORD_LETTERS; i++) {
      word.append((char) ('a' + rest % LETTERS));
      rest /= LETTERS;
    }
    return word.append(' ').toString();
  }

  private static long mix(String key, long position) {
    long mixed = (key.hashCode() * MIX) ^ (position * 0xBF58476D1CE4E5B9L);
    mixed = (mixed ^ (mixed >>> 30)) * 0xBF58476D1CE4E5B9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94D049BB133111EBL;
    return mixed ^ (mixed >>> 31);
  }
}
