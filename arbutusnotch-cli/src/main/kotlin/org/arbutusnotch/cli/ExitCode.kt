/*
 * The exit codes of the tool, which scripts depend on.
 */
package org.arbutusnotch.cli

/** Names the outcome of a command. */
public enum class ExitCode(public val value: Int) {
    /** The command succeeded. */
    SUCCESS(0),

    /** An instance refused the request, or the expected state was not reached in time. */
    FAILED(1),

    /** The command line or the file is invalid. */
    INVALID_INPUT(2),

    /** At least one instance did not respond. */
    UNREACHABLE(3),
}
