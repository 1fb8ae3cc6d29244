package org.apricotdeal.http;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/** Cuts content that arrives in pieces into lines. */
public final class LineSplitter {
    private final Consumer<String> onLine;
    private final ByteArrayOutputStream partial = new ByteArrayOutputStream();

    /**
     * Creates a splitter.
     *
     * @param onLine takes each line without its line end
     */
    public LineSplitter(Consumer<String> onLine) {
        this.onLine = onLine;
    }

    /**
     * Takes the next piece and hands on each line that it completes.
     *
     * @param content the piece, in UTF-8
     */
    public void take(ByteBuffer content) {
        while (content.hasRemaining()) {
            byte next = content.get();
            if (next == '\n') {
                onLine.accept(partial.toString(StandardCharsets.UTF_8).stripTrailing());
                partial.reset();
            } else {
                partial.write(next);
            }
        }
    }
}
