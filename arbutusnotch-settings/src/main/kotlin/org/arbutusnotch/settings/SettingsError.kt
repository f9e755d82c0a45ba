/*
 * Errors of settings files, with enough detail for an operator to correct the file without reading the source.
 */
package org.arbutusnotch.settings

/**
 * Describes one error of a settings file.
 *
 * @property file file name as passed to the reader
 * @property line line of the key, counted from 1; for a missing key the line of its table
 * @property column column of the key, counted from 1
 * @property key path of the key, for example `servers[2].slots` with 0-based indices; empty for an error of the file
 * @property found value in the file, shortened to [MAXIMUM_FOUND_CHARACTERS]
 * @property allowed description of the allowed values
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
        /** Maximum length of the part of a value that an error quotes, in characters. */
        public const val MAXIMUM_FOUND_CHARACTERS: Int = 80
    }
}
