/** Commands that work on files with sheets. */
package org.guavathread.cli.sheet;
