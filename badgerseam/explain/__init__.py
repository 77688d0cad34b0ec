"""Explains why jobs wait. Any controller takes questions; the controller that plans for the job
answers them.
"""
