"""Explains why jobs wait. Any controller accepts questions; the controller that plans for the job
answers them.
"""
