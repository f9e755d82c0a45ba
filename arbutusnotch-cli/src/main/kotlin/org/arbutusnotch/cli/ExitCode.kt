/*
 * The exit codes of the tool, which scripts depend on.
 */
package org.arbutusnotch.cli

/** Names how a command ended. */
public enum class ExitCode(public val value: Int) {
    /** The command did what was asked. */
    DONE(0),

    /** An instance refused the request, or a state was not reached in time. */
    FAILED(1),

    /** The command line or the file is invalid. */
    INVALID(2),

    /** At least one instance did not answer. */
    UNREACHABLE(3),
}
