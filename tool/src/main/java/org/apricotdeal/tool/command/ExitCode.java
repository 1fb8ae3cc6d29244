package org.apricotdeal.tool.command;

/** Exit codes of the tool. */
public enum ExitCode {
    /** The command did what it was asked for. */
    OK(0, "done"),
    /** The command line is wrong. */
    USAGE(64, "the command line is wrong"),
    /** A file or the catalogue has findings. */
    DATA(65, "a file or the catalogue has findings; nothing was changed"),
    /** The platform or a node could not be reached. */
    UNAVAILABLE(69, "the platform or a node could not be reached; the output says what is known"),
    /** A fault of the program. */
    INTERNAL(70, "a fault of the program"),
    /** Another operator was first. */
    CONFLICT(75, "another operator was first; nothing was changed");

    private final int code;
    private final String meaning;

    ExitCode(int code, String meaning) {
        this.code = code;
        this.meaning = meaning;
    }

    /**
     * Returns the process's exit code.
     *
     * @return the code, from 0 to 255
     */
    public int code() {
        return code;
    }

    /**
     * Returns what the code means.
     *
     * @return a description for people
     */
    public String meaning() {
        return meaning;
    }
}
