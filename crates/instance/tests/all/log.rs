//! Records of conditions.

use instance::log::Alarm;

#[test]
fn an_alarm_tells_only_of_changes() {
    let alarm = Alarm::default();
    assert!(!alarm.clear(), "it never began");
    assert_eq!(
        [alarm.raise(), alarm.raise(), alarm.raise()],
        [true, false, false]
    );
    assert_eq!([alarm.clear(), alarm.clear()], [true, false]);
    assert!(alarm.raise(), "it begins again");
}
