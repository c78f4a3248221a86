/** The operators' client: argument parsing, help texts and terminal. */
package org.guavathread.cli;
