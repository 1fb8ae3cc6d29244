package org.apricotdeal.proofs.tool;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.apricotdeal.proofs.golden.GoldenFiles;
import org.apricotdeal.tool.Tool;
import org.apricotdeal.tool.command.Console;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Plays whole sessions of the tool and compares the transcript with a golden file. A session's line is a command after
 * {@code $}, a fault after {@code !}, or a remark after {@code #}. Regenerate with
 * {@code mvn -o -pl proofs -am test -Dtest='ToolSession*' -Dgolden.write=true}.
 */
public final class ToolSessionTest {
    private static final Pattern WORD = Pattern.compile("\"([^\"]*)\"|(\\S+)");

    @DataProvider
    public Object[][] sessions() {
        return GoldenFiles.descriptors("tool", ".session");
    }

    @Test(dataProvider = "sessions")
    public void matchesItsGoldenFile(Path session) throws IOException {
        SessionEnvironment environment = new SessionEnvironment(session.getParent());
        StringBuilder transcript = new StringBuilder();
        for (String line : Files.readAllLines(session)) {
            transcript.append(line).append('\n');
            if (line.startsWith("$ ")) {
                transcript.append(play(line.substring(2), session.getParent(), environment));
            } else if (line.startsWith("! ")) {
                inject(line.substring(2), session.getParent(), environment);
            }
        }
        GoldenFiles.check(GoldenFiles.sibling(session, ".session", ".golden"), transcript.toString());
    }

    private static String play(String command, Path folder, SessionEnvironment environment) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        PrintStream stream = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        int code = new Tool(new Console(stream, stream), environment).run(words(command, folder));
        return bytes.toString(StandardCharsets.UTF_8).replace(folder.toString(), "DIR") + "exit " + code + "\n";
    }

    private static void inject(String fault, Path folder, SessionEnvironment environment) {
        FaultyStore store = environment.faultyStore();
        String[] parts = fault.split(" ", 2);
        switch (parts[0]) {
            case "away" -> store.away(true);
            case "back" -> store.away(false);
            case "lose-replies" -> store.loseSwapReplies(Integer.parseInt(parts[1]));
            case "race" -> store.beforeNextSwap(() -> play(parts[1], folder, environment));
            default -> throw new AssertionError("unknown fault " + fault);
        }
    }

    private static List<String> words(String command, Path folder) {
        List<String> words = new ArrayList<>();
        Matcher matcher = WORD.matcher(command);
        while (matcher.find()) {
            String word = matcher.group(1) == null ? matcher.group(2) : matcher.group(1);
            words.add(word.endsWith(".ini") ? folder.resolve(word).toString() : word);
        }
        return words.subList(1, words.size());
    }
}
