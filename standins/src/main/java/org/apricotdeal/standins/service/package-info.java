/** Stand-in for a plain service, which records what it executes. */
package org.apricotdeal.standins.service;
