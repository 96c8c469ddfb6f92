use super::*;

#[test]
fn progress_bits_round_trip() {
    let mut bits = vec![false; 70];
    bits[0] = true;
    bits[9] = true;
    bits[69] = true;
    assert_eq!(ProgressRecord::new(&bits).completed(), [0, 9, 69]);
}
