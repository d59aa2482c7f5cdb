package org.amaranthstream.http;

/** Text that counts how often its characters are read. */
public final class CountedText implements CharSequence {
  private final String text;
  private long reads;

  /** Creates a text that was not read yet. */
  public CountedText(String text) {
    this.text = text;
  }

  /** Returns the number of reads of characters. */
  public long reads() {
    return reads;
  }

  @Override
  public int length() {
    return text.length();
  }

  @Override
  public char charAt(int index) {
    reads++;
    return text.charAt(index);
  }

  @Override
  public CharSequence subSequence(int start, int end) {
    return text.subSequence(start, end);
  }

  @Override
  public String toString() {
    return text;
  }
}
