package org.amaranthstream.docs;

import com.google.common.base.Splitter;
import com.google.common.collect.ImmutableList;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;

/** The rows of the tables on a page under {@code docs}, without headings. */
public final class DocTable {
  private static final Path DOCS = Path.of("../docs");

  private DocTable() {}

  /** Returns the cells of each row that has a cell in backticks, without the backticks. */
  public static ImmutableList<List<String>> rows(String page) {
    try {
      return Files.readAllLines(DOCS.resolve(page)).stream()
          .filter(line -> line.startsWith("| ") && line.contains("`"))
          .map(DocTable::cells)
          .collect(ImmutableList.toImmutableList());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static List<String> cells(String line) {
    List<String> parts = Splitter.on('|').trimResults().splitToList(line);
    return parts.subList(1, parts.size() - 1).stream()
        .map(cell -> cell.matches("`[^`]*`") ? cell.substring(1, cell.length() - 1) : cell)
        .toList();
  }
}
