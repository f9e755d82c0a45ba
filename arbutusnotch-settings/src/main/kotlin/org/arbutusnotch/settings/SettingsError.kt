/*
 * What is wrong with a settings file, told so that an operator can correct it without reading the source.
 */
package org.arbutusnotch.settings

/**
 * Describes one error of a settings file.
 *
 * @property file name of the file as the reader was given it
 * @property line line of the key, from 1; for a missing key the line of its table
 * @property column column of the key, from 1
 * @property key path of the key, for example `servers[2].slots` with indices from 0; empty for an error of the file
 * @property found value that the file has, shortened to [MAXIMUM_FOUND_CHARACTERS]
 * @property allowed what the file may have there
 */
public data class SettingsError(
    public val file: String,
    public val line: Int,
    public val column: Int,
    public val key: String,
    public val found: String,
    public val allowed: String,
) {
    override fun toString(): String {
        val subject = key.ifEmpty { "file" }
        return "$file:$line:$column: $subject: found $found; allowed: $allowed"
    }

    public companion object {
        /** Longest part of a value that an error repeats. */
        public const val MAXIMUM_FOUND_CHARACTERS: Int = 80
    }
}
